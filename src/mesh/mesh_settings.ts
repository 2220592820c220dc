import type { ColdAllowance } from "../gate/cold_allowance.ts";
import type { QuotaBounds } from "../quotas/quota_bounds.ts";
import type { RetryAllowance } from "../retries/retry_allowance.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { SourceBounds } from "../source/source_bounds.ts";

/** The settings of a node. */
export interface MeshSettings {
  /** Name of the VM that the node runs on. */
  readonly vm: string;
  /** Availability zone of the VM. */
  readonly zone: string;
  /** The service of the backend server on this VM. */
  readonly service: string;
  readonly backendServer: NetworkAddress;
  /**
   * Shortest time between the end of a backend server and the use of its address
   * by one of another service; 0 if it may be used at once.
   */
  readonly addressReuseMilliseconds: number;
  readonly listeners: {
    /** For callers on this VM and its backend server. */
    readonly callers: NetworkAddress;
    /** For other nodes; the same port on every VM. */
    readonly nodes: NetworkAddress;
    readonly readiness: NetworkAddress;
    readonly metrics: NetworkAddress | undefined;
  };
  readonly source: NetworkAddress;
  readonly sourceBounds: SourceBounds;
  readonly retryAllowance: RetryAllowance;
  /** How far all nodes together may exceed the quota of an organisation. */
  readonly quotaBounds: QuotaBounds;
  /**
   * How far all nodes together may exceed the rate limit of a backend server in
   * cold start.
   */
  readonly coldAllowance: ColdAllowance;
  /** Bandwidth of this VM's link, in megabits per second. */
  readonly linkMegabitsPerSecond: number;
  /** Time after which a stopping process is killed. */
  readonly stopMilliseconds: number;
}
