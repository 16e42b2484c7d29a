"""Formats tables as text for terminals."""


def format_table(columns, rows):
    """Return a table with aligned columns; numbers are right-aligned.

    Parameters
    ----------
    columns : sequence of str
        Column names.
    rows : sequence of sequence
        Unformatted values; None is shown as ``-``.
    """
    formatted_rows = [[_format_value(value) for value in row] for row in rows]
    widths = [len(column) for column in columns]
    for row in formatted_rows:
        for index, cell in enumerate(row):
            widths[index] = max(widths[index], len(cell))
    lines = [_format_line(columns, columns, widths), "  ".join("-" * width for width in widths)]
    for row, values in zip(formatted_rows, rows, strict=True):
        lines.append(_format_line(row, values, widths))
    return "\n".join(line.rstrip() for line in lines)


def _format_line(formatted_values, values, widths):
    parts = []
    for cell, value, width in zip(formatted_values, values, widths, strict=True):
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        parts.append(cell.rjust(width) if is_number else cell.ljust(width))
    return "  ".join(parts)


def _format_value(value):
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return f"{value:.4g}"
    if isinstance(value, list | dict):
        return str(value)
    # Control characters in stored text could inject escape sequences into the operator's terminal.
    return "".join(character if character.isprintable() else " " for character in str(value))
