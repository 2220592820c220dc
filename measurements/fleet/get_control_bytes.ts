import type { ControlUse } from "./control_use.ts";

/** Returns the control bytes a second of the mean node, sent and received. */
export function getControlBytes(use: ControlUse): number {
  return use.bytesSentPerSecond + use.bytesReceivedPerSecond;
}
