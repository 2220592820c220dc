import type { Snapshot } from "../configuration/snapshot.ts";
import type { NodeSettings } from "../daemon/node_settings.ts";
import type { ControlClient } from "../peers/control_client.ts";
import type { ControlTraffic } from "../peers/control_traffic.ts";
import type { OwnState } from "../peers/own_state.ts";
import type { PlatformClient } from "../platform/platform_client.ts";
import type { NodeEnvironment } from "../runtime/node_environment.ts";

/** The dependencies of `createDistributionRuntime`. */
export interface DistributionRuntimeOptions {
  readonly settings: NodeSettings;
  readonly environment: NodeEnvironment;
  readonly controlClient: ControlClient;
  readonly platformClient: PlatformClient;
  /**
   * Returns the control traffic for the status, including served requests; if
   * absent, all counts are 0.
   */
  readonly getControlTraffic?: () => ControlTraffic;
  /** Returns the fields of this node's record that other modules determine. */
  readonly getOwnState: () => OwnState;
  /**
   * Creates the resources that the snapshot needs. The snapshot is put in force
   * when the promise resolves or the timeout has passed.
   */
  readonly prepareSnapshot: (snapshot: Snapshot) => Promise<void>;
  /** Puts the snapshot in force in one step. */
  readonly applySnapshot: (snapshot: Snapshot) => void;
}
