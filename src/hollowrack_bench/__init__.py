"""Demonstration, load and experiments; joins the product and the stand-ins."""
