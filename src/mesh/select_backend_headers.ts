import type { MeshNode } from "./mesh_node.ts";

/**
 * Returns the caller's headers for a backend server. Where the rules contain
 * organisations, neither a key nor a name that the caller set is among them.
 */
export function selectBackendHeaders(
  { dialect }: Pick<MeshNode, "dialect">,
  options: {
    /** Alternating names and values. */
    readonly headers: readonly string[];
    /** Whether the rules contain organisations. */
    readonly isKeyRequired: boolean;
  },
): readonly string[] {
  return options.isKeyRequired
    ? dialect.removeCallerIdentity(options.headers)
    : options.headers;
}
