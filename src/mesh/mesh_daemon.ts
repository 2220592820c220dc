import type { MeshSettings } from "./mesh_settings.ts";

/** A running node. */
export interface MeshDaemon {
  /**
   * Applies changed settings. Names and addresses keep their values from the
   * start.
   */
  reload(settings: MeshSettings): void;
  /**
   * Stops gracefully; resolves with the number of calls that were cut off. A
   * further call has no effect and resolves with the same number.
   */
  stop(): Promise<number>;
}
