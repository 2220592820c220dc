const maxShownCharacters = 60;

/** Returns a short form of any JSON value for the `found` detail of a diagnostic. */
export function describeValue(value: unknown): string {
  if (value === undefined) {
    return "missing";
  }
  if (Array.isArray(value)) {
    return `an array of ${value.length}`;
  }
  if (typeof value === "object" && value !== null) {
    return "an object";
  }
  const text = JSON.stringify(value) ?? typeof value;
  return text.length <= maxShownCharacters
    ? text
    : `${text.slice(0, maxShownCharacters)}…`;
}
