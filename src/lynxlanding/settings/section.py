"""Base class and common types of settings sections."""

from typing import Annotated

import pydantic

Seconds = Annotated[float, pydantic.Field(gt=0, le=1e6, allow_inf_nan=False)]


class Section(pydantic.BaseModel):
    """Base class of settings sections; unknown keys are rejected, and the error names them."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)
