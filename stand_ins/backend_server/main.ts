/**
 * Runs a backend server stand-in as its own process.
 *
 * @module
 */
import { announceListening } from "../common/announce_listening.ts";
import { parseNetworkAddress } from "../common/parse_network_address.ts";
import { loadStandInSettings } from "../common/load_stand_in_settings.ts";
import { backendServerSettingsSchema } from "./backend_server_settings_schema.ts";
import { createBackendServer } from "./create_backend_server.ts";

const settings = loadStandInSettings(
  backendServerSettingsSchema,
  "Usage: node dist/stand_ins/backend_server/main.js --settings FILE",
);
const server = createBackendServer(settings);
announceListening(server);
server.listen(parseNetworkAddress(settings.listen));
