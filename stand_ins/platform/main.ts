/**
 * The platform's stand-in: a configuration value, its watch and the list of VMs.
 *
 * @module
 */
import { announceListening } from "../common/announce_listening.ts";
import { parseNetworkAddress } from "../common/parse_network_address.ts";
import { parseStandInArguments } from "../common/parse_stand_in_arguments.ts";
import { createPlatformServer } from "./create_platform_server.ts";
import { platformSettingsSchema } from "./platform_settings_schema.ts";

const settings = parseStandInArguments(
  platformSettingsSchema,
  "Usage: node dist/stand_ins/platform/main.js --settings FILE",
);
const server = createPlatformServer(settings);
announceListening(server);
server.listen(parseNetworkAddress(settings.listen));
