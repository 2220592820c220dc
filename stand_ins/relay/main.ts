/**
 * Runs a TCP relay as its own process; it can cut, reset or delay connections,
 * or silently drop their data.
 *
 * @module
 */
import { announceListening } from "../common/announce_listening.ts";
import { getPort } from "../common/get_port.ts";
import { parseNetworkAddress } from "../common/parse_network_address.ts";
import { loadStandInSettings } from "../common/load_stand_in_settings.ts";
import { createRelay } from "./create_relay.ts";
import { createRelayControl } from "./create_relay_control.ts";
import { relaySettingsSchema } from "./relay_settings_schema.ts";

const settings = loadStandInSettings(
  relaySettingsSchema,
  "Usage: node dist/stand_ins/relay/main.js --settings FILE",
);
const relay = createRelay(parseNetworkAddress(settings.target));
const control = createRelayControl(relay);
control.listen(parseNetworkAddress(settings.control), () => {
  announceListening(relay.server, { control: getPort(control) });
  relay.server.listen(parseNetworkAddress(settings.listen));
});
