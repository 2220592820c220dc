import type { ColdAllowance } from "../gate/cold_allowance.ts";
import type { RetryAllowance } from "../retries/retry_allowance.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { SourceBounds } from "../source/source_bounds.ts";

/** What a node needs to know before it starts. */
export interface MeshSettings {
  readonly vm: string;
  readonly zone: string;
  /** The service of the backend server on this VM. */
  readonly service: string;
  readonly backendServer: NetworkAddress;
  readonly listeners: {
    /** Callers on this VM, and its backend server. */
    readonly callers: NetworkAddress;
    /** Other nodes; the same port on every VM. */
    readonly nodes: NetworkAddress;
    readonly readiness: NetworkAddress;
    readonly metrics: NetworkAddress | undefined;
  };
  readonly source: NetworkAddress;
  readonly sourceBounds: SourceBounds;
  readonly retryAllowance: RetryAllowance;
  /** By how much a backend server in cold start may get more than its rate, all nodes together. */
  readonly coldAllowance: ColdAllowance;
  /** Bandwidth of this VM's link, in megabits a second. */
  readonly linkMegabitsPerSecond: number;
  /** How long a stopping process may take before it is killed. */
  readonly stopMilliseconds: number;
}
