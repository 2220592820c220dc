/** Returns the value that a text of JSON holds, or undefined where it is none. */
export function tryParseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
