import type { MeshSettings } from "./mesh_settings.ts";

/** A running node. */
export interface MeshDaemon {
  /** Puts changed settings in force. Addresses stay as they were at the start. */
  reload(settings: MeshSettings): void;
  /** Stops gracefully; resolves with the number of calls that were cut. */
  stop(): Promise<number>;
}
