import type { IncomingMessage, ServerResponse } from "node:http";

/** Handles one request to a backend server of a test. */
export type MeshBackendScript = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;
