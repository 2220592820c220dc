import type { Socket } from "node:net";
import type { ControlTraffic } from "../peers/control_traffic.ts";

/** Counts the control requests that other nodes send to this node. */
export interface ServedControlTraffic {
  /** Counts a request, and from now on all bytes of its connection. */
  recordRequest(socket: Socket): void;
  recordResponse(): void;
  getTraffic(): ControlTraffic;
}
