"""Bundle schema: models, service pools, staleness bound and tenant weights of the fleet."""

from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator
from returns.result import Failure, Result, Success

from hollowrack.results import Problem, ResultCode

Share = Annotated[float, Field(ge=0.0, le=1.0)]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ModelConfig(_Section):
    """One model served by engines."""

    min_replicas: int = Field(default=1, ge=0, description="Engines that must hold the model.")
    training_room: Share = Field(
        default=0.75, description="Maximum fraction of an engine's slots that training may use."
    )


class ServicePool(_Section):
    """One pool of service workers."""

    timeout_s: float = Field(default=10.0, gt=0, description="Timeout of a request, in seconds.")


class MeasureWeights(_Section):
    """Weights of trainer idle time and sample staleness."""

    idle_weight: float = Field(default=1.0, ge=0, description="Weight of trainer idle time.")
    staleness_weight: float = Field(default=1.0, ge=0, description="Weight of sample staleness.")
    max_staleness_versions: int = Field(
        default=2, ge=0, description="Greatest accepted age of a sample, in weight versions."
    )


class Bundle(_Section):
    """One revision of the fleet's configuration."""

    revision: int = Field(ge=1, description="Rises with every accepted bundle.")
    models: dict[str, ModelConfig] = Field(default_factory=dict, description="Models by name.")
    pools: dict[str, ServicePool] = Field(
        default_factory=dict, description="Service pools by name."
    )
    measures: MeasureWeights = Field(
        default_factory=MeasureWeights, description="Weights of the measures."
    )
    tenants: dict[str, float] = Field(
        default_factory=dict, description="Fair-share weights by tenant; others weigh one."
    )
    drain_deadline_s: float = Field(
        default=30.0, gt=0, description="Longest wait for running requests at a stop, in seconds."
    )

    @model_validator(mode="after")
    def _check_weights(self) -> "Bundle":
        for tenant, weight in self.tenants.items():
            if weight <= 0:
                raise ValueError(f"tenants.{tenant}: the weight must be above zero")
        return self


def parse_bundle(values: Any) -> Result[Bundle, Problem]:
    """Validate a decoded bundle; fails with ``BUNDLE_INVALID`` and the path of the invalid key."""
    try:
        return Success(Bundle.model_validate(values))
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        return Failure(Problem(ResultCode.BUNDLE_INVALID, f"{first['msg']}.", place))
