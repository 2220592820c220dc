const shownCharactersMaximum = 60;

/** Formats a value for the `found` detail of a diagnostic, truncated if long. */
export function formatFoundValue(value: unknown): string {
  if (value === undefined) {
    return "missing";
  }
  const text = JSON.stringify(value) ?? String(value);
  return text.length > shownCharactersMaximum
    ? `${text.slice(0, shownCharactersMaximum)}…`
    : text;
}
