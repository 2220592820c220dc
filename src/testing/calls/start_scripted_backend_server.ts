import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import { listenOnLoopback } from "./listen_on_loopback.ts";
import type { ScriptedBackendServer } from "./scripted_backend_server.ts";

type Script = (request: IncomingMessage, response: ServerResponse) => void;

const slowMilliseconds = 700;
const longChunkBytes = 64 * 1024;

/** Scripts by the last segment of the call's path. */
const scripts: Readonly<Record<string, Script>> = {
  cut: (_, response) => {
    response.writeHead(200, { "content-length": "100" });
    response.write("only a part", () => response.destroy());
  },
  rubbish: (request) => {
    request.socket.end("This is not HTTP\r\n\r\n");
  },
  // Without a length, a complete body cannot be distinguished from a truncated one.
  unframed: (request) => {
    request.socket.end("HTTP/1.1 200 OK\r\n\r\na body of unknown length");
  },
  silence: () => undefined,
  slow: (_, response) => {
    setTimeout(() => response.end("slow answer"), slowMilliseconds);
  },
  shed: (_, response) => {
    response.writeHead(503, { "catkinquay-not-run": "true" });
    response.end();
  },
  crossed: (_, response) => {
    response.writeHead(200, { "catkinquay-call-identifier": "another-call" });
    response.end("answer of another call");
  },
  long: (_, response) => {
    response.write(Buffer.alloc(longChunkBytes, "a"));
    response.end(Buffer.alloc(longChunkBytes, "b"));
  },
  "long-slow": (_, response) => {
    response.write(Buffer.alloc(longChunkBytes, "a"));
    setTimeout(() => {
      response.write(Buffer.alloc(longChunkBytes, "b"));
      setTimeout(() => response.end("the end"), slowMilliseconds);
    }, slowMilliseconds);
  },
  "long-cut": (_, response) => {
    response.write(Buffer.alloc(2 * longChunkBytes, "a"));
    setTimeout(() => response.destroy(), 20);
  },
};

/** The script for any other path: returns the method and the body of the request. */
const echoScript: Script = (request, response) => {
  const chunks: Buffer[] = [];
  request.on("data", (chunk: Buffer) => chunks.push(chunk));
  request.on("end", () => {
    response.writeHead(200, {
      "content-type": "text/plain",
      "x-seen-path": request.url ?? "",
      "set-cookie": ["a=1", "b=2"],
    });
    response.end(`${request.method} ${Buffer.concat(chunks).toString()}`);
  });
};

/** Starts a backend server on a free port; the last segment of a call's path selects its script. */
export async function startScriptedBackendServer(): Promise<
  ScriptedBackendServer
> {
  const runs: IncomingMessage[] = [];
  // Also counts responses that a script itself cuts or leaves unfinished.
  let cancelled = 0;
  const server = createServer((request, response) => {
    const name = request.url?.split("?")[0]?.split("/").at(-1) ?? "";
    if (name !== "shed") {
      runs.push(request);
    }
    response.on("close", () => {
      cancelled += response.writableFinished ? 0 : 1;
    });
    request.resume();
    (scripts[name] ?? echoScript)(request, response);
  });
  const address = await listenOnLoopback(server);
  return {
    address,
    runs,
    getCancelled: () => cancelled,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
