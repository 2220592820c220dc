import type { ControlUsage } from "./control_usage.ts";

/** Returns the control bytes a second of the mean node, sent and received. */
export function getControlBytesPerSecond(usage: ControlUsage): number {
  return usage.bytesSentPerSecond + usage.bytesReceivedPerSecond;
}
