/** Resolves after the given time. */
export function pause(milliseconds: number): Promise<undefined> {
  return new Promise((resolve) =>
    setTimeout(() => resolve(undefined), milliseconds)
  );
}
