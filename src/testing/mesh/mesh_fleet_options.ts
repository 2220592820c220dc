import type { CallRoute } from "../../routing/call_route.ts";
import type { Rules } from "../../routing/rules.ts";

/** Options of `startMeshFleet`. */
export interface MeshFleetOptions {
  readonly vms: number;
  /** Replaces fields of the one route, `/cakes/` of `shop.example`. */
  readonly route?: Partial<CallRoute>;
  /** Replaces some of the limits of what a caller may send. */
  readonly limits?: Partial<Rules["limits"]>;
  /** Time after its withdrawal from which every node refuses a key; no bound if omitted. */
  readonly withdrawalMilliseconds?: number;
  /** Slots of each backend server; 4 if omitted. */
  readonly slots?: number;
  /** How long a node may take to stop; 1,000 if omitted. */
  readonly stopMilliseconds?: number;
  /** Shortest time until an address may be used by another service; 2,000 if omitted. */
  readonly addressReuseMilliseconds?: number;
  /** By how many milliseconds the timers of the nodes of these indexes fire late. */
  readonly timerDelays?: ReadonlyMap<number, number>;
}
