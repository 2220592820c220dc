import type { PeersState } from "../peers/peers_state.ts";
import type { ConfirmationState } from "./confirmation_state.ts";
import type { ExchangeState } from "./exchange_state.ts";
import type { PlatformState } from "./platform_state.ts";
import type { PullState } from "./pull_state.ts";
import type { StartupState } from "./startup_state.ts";
import type { VersionsState } from "./versions_state.ts";

/** The state of the distribution on one node. Immutable. */
export interface DistributionState {
  readonly peers: PeersState;
  readonly versions: VersionsState;
  readonly startup: StartupState;
  readonly platform: PlatformState;
  readonly exchange: ExchangeState;
  /** The outstanding pull; there is at most one. */
  readonly pull: PullState | undefined;
  /** The confirmation of the view after a pause, while it is outstanding. */
  readonly confirmation: ConfirmationState | undefined;
  readonly stopping: boolean;
}
