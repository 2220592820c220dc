import type { Version } from "../../src/configuration/version.ts";

/** The part of a node's `/status` page that deployments read. */
export interface NodeStatus {
  readonly version: Version | null;
}
