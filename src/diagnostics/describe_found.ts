const shownCharacters = 60;

/** Returns a short form of a value for the `found` detail of a diagnostic. */
export function describeFound(value: unknown): string {
  if (value === undefined) {
    return "missing";
  }
  const text = JSON.stringify(value) ?? String(value);
  return text.length > shownCharacters
    ? `${text.slice(0, shownCharacters)}…`
    : text;
}
