import type { Socket } from "node:net";
import { createSocketByteCounter } from "./create_socket_byte_counter.ts";
import type { ServedControlTraffic } from "./served_control_traffic.ts";

/**
 * Creates the traffic counters of a listener. Counting whole connections works
 * because nodes use separate connections for control requests and for calls.
 */
export function createServedControlTraffic(): ServedControlTraffic {
  const counter = createSocketByteCounter();
  const trackedSockets = new WeakSet<Socket>();
  let messagesSent = 0;
  let messagesReceived = 0;
  return {
    recordRequest: (socket) => {
      messagesReceived += 1;
      if (!trackedSockets.has(socket)) {
        trackedSockets.add(socket);
        counter.track(socket);
      }
    },
    recordResponse: () => {
      messagesSent += 1;
    },
    getTraffic: () => ({
      bytesSent: counter.getBytesWritten(),
      bytesReceived: counter.getBytesRead(),
      messagesSent,
      messagesReceived,
    }),
  };
}
