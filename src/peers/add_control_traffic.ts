import type { ControlTraffic } from "./control_traffic.ts";

/** Returns the sum of two traffic counts. */
export function addControlTraffic(
  left: ControlTraffic,
  right: ControlTraffic,
): ControlTraffic {
  return {
    bytesSent: left.bytesSent + right.bytesSent,
    bytesReceived: left.bytesReceived + right.bytesReceived,
    messagesSent: left.messagesSent + right.messagesSent,
    messagesReceived: left.messagesReceived + right.messagesReceived,
  };
}
