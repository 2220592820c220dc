import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { sendCompleteAnswer } from "./send_complete_answer.ts";
import type { MeshBackend } from "./mesh_backend.ts";
import { MeshHeader } from "./mesh_header.ts";

const healthPath = "/health";

/** Starts a backend server on a loopback IP address; until its script is replaced, it answers every request. */
export async function startMeshBackend(
  options: { readonly host: string; readonly identifier: string },
): Promise<MeshBackend> {
  const { host, identifier } = options;
  let server = createBackendServer();

  function createBackendServer(): Server {
    return createServer((request, response) => {
      if (request.url === healthPath) {
        backend.probeConnections.add(request.socket);
        if (backend.probeScript !== undefined) {
          backend.probeScript(request, response);
          return;
        }
        response.writeHead(200, {
          [MeshHeader.Identifier]: identifier,
          [MeshHeader.Cold]: String(backend.coldMilliseconds),
        }).end();
        return;
      }
      backend.runs.push(request.headers[MeshHeader.Call]?.toString() ?? "");
      backend.lastHeaders = request.headers;
      response.once("close", () => {
        if (!response.writableFinished) backend.cancelled += 1;
      });
      request.resume();
      backend.script(request, response);
    });
  }

  async function listen(port: number): Promise<number> {
    server.listen(port, host);
    await once(server, "listening");
    const address = server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  }

  async function close(): Promise<void> {
    const closed = once(server, "close");
    server.close();
    server.closeAllConnections();
    await closed;
  }

  const port = await listen(0);
  const backend: MeshBackend = {
    address: { host, port },
    identifier,
    runs: [],
    lastHeaders: {},
    cancelled: 0,
    probeConnections: new Set(),
    script: sendCompleteAnswer,
    probeScript: undefined,
    coldMilliseconds: 0,
    close: async () => {
      if (server.listening) await close();
    },
    crash: close,
    recover: async () => {
      server = createBackendServer();
      await listen(port);
    },
  };
  return backend;
}
