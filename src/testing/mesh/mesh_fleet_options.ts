import type { CallRoute } from "../../routing/call_route.ts";

/** What a fleet of a test differs in. */
export interface MeshFleetOptions {
  readonly vms: number;
  /** Replaces fields of the one route, `/cakes/` of `shop.example`. */
  readonly route?: Partial<CallRoute>;
  readonly slots?: number;
  readonly stopMilliseconds?: number;
}
