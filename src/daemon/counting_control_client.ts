import type { ControlClient } from "../peers/control_client.ts";
import type { ControlTraffic } from "../peers/control_traffic.ts";

/** A control client that counts what it sends and receives. */
export interface CountingControlClient extends ControlClient {
  /** Returns the counts of the requests that this node sent and of their responses; bytes include HTTP headers. */
  getTraffic(): ControlTraffic;
}
