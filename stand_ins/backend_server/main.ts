/**
 * A backend server's stand-in.
 *
 * @module
 */
import { announceListening } from "../common/announce_listening.ts";
import { parseNetworkAddress } from "../common/parse_network_address.ts";
import { parseStandInArguments } from "../common/parse_stand_in_arguments.ts";
import { backendServerSettingsSchema } from "./backend_server_settings_schema.ts";
import { createBackendServer } from "./create_backend_server.ts";

const settings = parseStandInArguments(
  backendServerSettingsSchema,
  "Usage: node dist/stand_ins/backend_server/main.js --settings FILE",
);
const server = createBackendServer(settings);
announceListening(server);
server.listen(parseNetworkAddress(settings.listen));
