/** Resolves with undefined after the given time. */
export function delay(milliseconds: number): Promise<undefined> {
  return new Promise((resolve) =>
    setTimeout(() => resolve(undefined), milliseconds)
  );
}
