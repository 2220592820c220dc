import { createServer } from "node:http";
import type { Server } from "node:http";
import { readBody } from "../common/read_body.ts";
import { writeJson } from "../common/write_json.ts";
import type { Relay } from "./relay.ts";
import { relayModeSchema } from "./relay_mode_schema.ts";

/** Creates the server for control requests, `PUT /stand-in/mode`; it does not listen yet. */
export function createRelayControl(relay: Relay): Server {
  return createServer((request, response) => {
    readBody(request)
      .then((body) => {
        const mode = relayModeSchema.parse(JSON.parse(body));
        relay.setMode(mode);
        writeJson(response, 200, mode);
      })
      .catch((error: Error) =>
        writeJson(response, 400, { error: error.message })
      );
  });
}
