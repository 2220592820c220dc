import type { ControlClient } from "../peers/control_client.ts";
import type { ControlTraffic } from "../peers/control_traffic.ts";

/** A control client that counts what it sends and receives. */
export interface CountingControlClient extends ControlClient {
  /** Counts of the exchanges that this node began; bytes are those of the connections, headers included. */
  getTraffic(): ControlTraffic;
}
