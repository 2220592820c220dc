import type { Socket } from "node:net";

/**
 * Sends `head` and then `part` again and again until the connection is closed:
 * every `intervalMilliseconds`, or as fast as the other side reads if it is
 * omitted.
 */
export function sendEndlessBytes(
  socket: Socket,
  options: {
    readonly head: string;
    readonly part: string;
    readonly intervalMilliseconds?: number | undefined;
  },
): void {
  const { head, part, intervalMilliseconds } = options;
  const bytes = Buffer.from(part, "latin1");
  socket.on("error", () => undefined);
  socket.write(head, "latin1");
  if (intervalMilliseconds !== undefined) {
    const interval = setInterval(
      () => socket.write(bytes),
      intervalMilliseconds,
    );
    socket.once("close", () => clearInterval(interval));
    return;
  }
  function sendPart(): void {
    if (socket.destroyed) return;
    socket.write(bytes, () => setImmediate(sendPart));
  }
  sendPart();
}
