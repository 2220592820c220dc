import type { Snapshot } from "../configuration/snapshot.ts";
import type { NodeSettings } from "../daemon/node_settings.ts";
import type { ControlClient } from "../peers/control_client.ts";
import type { ControlTraffic } from "../peers/control_traffic.ts";
import type { OwnState } from "../peers/own_state.ts";
import type { PlatformClient } from "../platform/platform_client.ts";
import type { NodeEnvironment } from "../runtime/node_environment.ts";

/** What `createDistributionRuntime` takes from outside. */
export interface DistributionRuntimeOptions {
  readonly settings: NodeSettings;
  readonly environment: NodeEnvironment;
  readonly controlClient: ControlClient;
  readonly platformClient: PlatformClient;
  /** Counts of the control traffic for the status, the served requests with them; all 0 where absent. */
  readonly getControlTraffic?: () => ControlTraffic;
  /** The parts of the node's own record that other modules decide. */
  readonly getOwnState: () => OwnState;
  /** Creates what the snapshot needs; the snapshot is put in force when this resolves or its time is up. */
  readonly prepareSnapshot: (snapshot: Snapshot) => Promise<void>;
  /** Puts the snapshot in force in one step. */
  readonly applySnapshot: (snapshot: Snapshot) => void;
}
