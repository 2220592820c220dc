import type { IncomingMessage } from "node:http";
import { ConnectionResetError } from "./connection_reset_error.ts";
import { isFramedAnswer } from "./is_framed_answer.ts";

/**
 * Destroys an answer whose body ends with its connection if that connection is
 * reset.
 *
 * The runtime reports a reset that arrives together with the last bytes as a
 * regular end. A socket that was reset has no remote address any more; one whose
 * other side has ended it has. The runtime keeps the address once it has been
 * read, so nothing may read it before.
 */
export function destroyOnReset(answer: IncomingMessage): void {
  if (isFramedAnswer(answer)) return;
  const { socket } = answer;
  function checkEnd(): void {
    const isReset = socket.remoteAddress === undefined;
    if (isReset && !answer.complete) answer.destroy(new ConnectionResetError());
  }
  // Before the parser, which completes the answer at the end of the connection.
  socket.prependOnceListener("end", checkEnd);
  answer.once("close", () => socket.off("end", checkEnd));
}
