/** Names one try of a call; records, fences and slots are kept by this name. */
export function getAttemptIdentifier(
  call: { readonly callIdentifier: string; readonly attempt: number },
): string {
  return `${call.callIdentifier}/${call.attempt}`;
}
