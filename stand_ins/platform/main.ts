/**
 * Runs a platform stand-in as its own process: a configuration value, watches
 * on it, and the list of VMs.
 *
 * @module
 */
import { announceListening } from "../common/announce_listening.ts";
import { parseNetworkAddress } from "../common/parse_network_address.ts";
import { loadStandInSettings } from "../common/load_stand_in_settings.ts";
import { createPlatformServer } from "./create_platform_server.ts";
import { platformSettingsSchema } from "./platform_settings_schema.ts";

const settings = loadStandInSettings(
  platformSettingsSchema,
  "Usage: node dist/stand_ins/platform/main.js --settings FILE",
);
const server = createPlatformServer(settings);
announceListening(server);
server.listen(parseNetworkAddress(settings.listen));
