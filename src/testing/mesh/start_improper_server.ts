import type { NetworkAddress } from "../../runtime/network_address.ts";
import type { ImproperAnswer } from "./improper_answer.ts";
import { startRawServer } from "./start_raw_server.ts";

/** Starts a server on `host` that gives one answer to every request, and then ends the connection. */
export async function startImproperServer(
  host: string,
  options: {
    readonly answer: ImproperAnswer;
    /** The parts of the answer that are proper. */
    readonly proper: Parameters<ImproperAnswer["create"]>[0];
  },
): Promise<{ readonly address: NetworkAddress; readonly close: () => void }> {
  const { answer, proper } = options;
  const bytes = Buffer.from(answer.create(proper), "latin1");
  const { port, close } = await startRawServer(
    { host, port: 0 },
    ({ socket }) =>
      void socket.write(
        bytes,
        () => answer.isReset ? socket.resetAndDestroy() : socket.end(),
      ),
  );
  return { address: { host, port }, close };
}
