/**
 * Returns the identifier of one attempt of a call, under which outcomes, fences
 * and slots are recorded.
 */
export function getAttemptIdentifier(
  call: { readonly callIdentifier: string; readonly attempt: number },
): string {
  return `${call.callIdentifier}/${call.attempt}`;
}
