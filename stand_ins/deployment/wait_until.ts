const pollIntervalMilliseconds = 20;

/** Polls the condition; resolves with true once it holds, or with false at the deadline. */
export async function waitUntil(
  condition: () => Promise<boolean> | boolean,
  deadline: number,
): Promise<boolean> {
  if (await condition()) {
    return true;
  }
  if (Date.now() >= deadline) {
    return false;
  }
  await delay(pollIntervalMilliseconds);
  return waitUntil(condition, deadline);
}

function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
