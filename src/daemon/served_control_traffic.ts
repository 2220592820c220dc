import type { Socket } from "node:net";
import type { ControlTraffic } from "../peers/control_traffic.ts";

/** Counts the control requests that other nodes sent to this one. */
export interface ServedControlTraffic {
  /** Counts a request; all further bytes of its connection count too. */
  noteRequest(socket: Socket): void;
  noteAnswer(): void;
  getTraffic(): ControlTraffic;
}
