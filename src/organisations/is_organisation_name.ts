/** Control characters could end a header and begin another one. */
// deno-lint-ignore no-control-regex
const namePattern = /^[^\u0000-\u001f\u007f]+$/;

/** Returns whether a text can name an organisation in a header. */
export function isOrganisationName(text: string): boolean {
  return namePattern.test(text) && text.trim() === text;
}
