import type { Socket } from "node:net";
import { createSocketByteCounter } from "./create_socket_byte_counter.ts";
import type { ServedControlTraffic } from "./served_control_traffic.ts";

/** Creates the counts of a listener; nodes use separate connections for control and for calls. */
export function createServedControlTraffic(): ServedControlTraffic {
  const counter = createSocketByteCounter();
  const known = new WeakSet<Socket>();
  let messagesSent = 0;
  let messagesReceived = 0;
  return {
    noteRequest: (socket) => {
      messagesReceived += 1;
      if (!known.has(socket)) {
        known.add(socket);
        counter.track(socket);
      }
    },
    noteAnswer: () => {
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
