import { once } from "node:events";
import { createServer } from "node:http";

const answer = Buffer.alloc(2_048, "a");

/** Starts a backend server that answers each request at once with 2 KiB. */
export async function startStageBackend(
  options: {
    readonly host: string;
    readonly port: number;
    readonly identifier: string;
  },
): Promise<() => void> {
  const server = createServer((request, response) => {
    request.resume();
    const callIdentifier = request.headers["x-attempt-id"];
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": String(answer.length),
      "x-server-seal": "seal",
      "x-instance-id": options.identifier,
      ...(callIdentifier === undefined
        ? {}
        : { "x-attempt-id": String(callIdentifier) }),
    });
    response.end(answer);
  });
  server.listen(options.port, options.host);
  await once(server, "listening");
  return () => {
    server.close();
    server.closeAllConnections();
  };
}
