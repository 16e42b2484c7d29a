"""Loads settings files."""

import pydantic
import yaml

from lynxlanding.errors import settings as settings_errors


def load(path, model):
    """Load and validate a settings file.

    Parameters
    ----------
    path : str
        Path of the YAML file.
    model : type of pydantic.BaseModel
        Model to validate against.

    Returns
    -------
    pydantic.BaseModel
        Validated settings.

    Raises
    ------
    errors.settings.SettingsError
        If the file cannot be read or is not a YAML mapping, or if a key is unknown, missing or
        invalid.
    """
    try:
        with open(path, encoding="utf-8") as file:
            document = yaml.safe_load(file)
    except OSError as e:
        raise settings_errors.SettingsError(path, e.strerror or str(e)) from e
    except yaml.YAMLError as e:
        raise settings_errors.SettingsError(path, f"not valid YAML: {e}") from e
    if not isinstance(document, dict):
        raise settings_errors.SettingsError(path, "must contain a mapping")
    try:
        return model.model_validate(document)
    except pydantic.ValidationError as e:
        first_error = e.errors()[0]
        location = ".".join(str(part) for part in first_error["loc"]) or path
        reason = "unknown key" if first_error["type"] == "extra_forbidden" else first_error["msg"]
        raise settings_errors.SettingsError(location, reason) from e
