"""Sections of the settings that are also used without a settings file.

The program on the users' platform imports this module, but not ``pydantic_settings``.
"""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field


class Section(BaseModel):
    """Base class of all sections; unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Logging(Section):
    """Log format and level."""

    format: Literal["json", "human"] = Field(
        default="json", description="One JSON object a line, or plain lines for people."
    )
    level: Literal["debug", "info", "warning", "error"] = Field(
        default="info", description="Least severity that is written."
    )
