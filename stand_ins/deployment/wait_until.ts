const pollMilliseconds = 20;

/** Resolves with true once the condition holds, and with false at the deadline. */
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
  await wait(pollMilliseconds);
  return waitUntil(condition, deadline);
}

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
