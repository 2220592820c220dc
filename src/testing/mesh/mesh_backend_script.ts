import type { IncomingMessage, ServerResponse } from "node:http";

/** What a test's backend server does with one request. */
export type MeshBackendScript = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;
