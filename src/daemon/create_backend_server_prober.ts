import { Result } from "true-myth";
import { Agent, request } from "undici";
import * as z from "zod";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import type { BackendServerProber } from "../health/backend_server_prober.ts";
import type { Clock } from "../runtime/clock.ts";
import { formatAddress } from "../runtime/format_address.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";

const maximumAnswerBytes = 4_096;
/** One for `/health` and one for `/load`, so that neither waits for the other. */
const connections = 2;

const healthSchema = z.object({ state: z.enum(["ready", "cold", "draining"]) });
const loadSchema = z.object({ running: z.number().int().nonnegative() });

/**
 * Creates the prober of a backend server's `/health` and `/load`. A probe that
 * got no answer closes its connections, so that the next one opens fresh ones.
 */
export function createBackendServerProber(
  address: NetworkAddress,
  options: { readonly clock: Clock },
): BackendServerProber {
  const { clock } = options;
  const origin = `http://${formatAddress(address)}`;
  const agent = new Agent({
    connections,
    pipelining: 1,
    maxResponseSize: maximumAnswerBytes,
  });

  async function read(path: string, signal: AbortSignal): Promise<unknown> {
    const answer = await request(`${origin}${path}`, {
      dispatcher: agent,
      signal,
    });
    if (answer.statusCode !== 200) {
      await answer.body.dump();
      return undefined;
    }
    return await answer.body.json();
  }

  return {
    async probe({ deadline }) {
      const sentAt = clock.now();
      const signal = AbortSignal.timeout(Math.max(1, deadline - sentAt));
      try {
        const [health, load] = await Promise.all([
          read("/health", signal),
          read("/load", signal),
        ]);
        return Result.ok({
          reportedState: healthSchema.parse(health).state,
          running: loadSchema.parse(load).running,
          sentAt,
        });
      } catch (error) {
        return Result.err(
          createDiagnostic(DiagnosticCode.BackendServerUnreachable, {
            path: formatAddress(address),
            found: error instanceof Error ? error.message : String(error),
          }),
        );
      }
    },
    close: () => agent.destroy(),
  };
}
