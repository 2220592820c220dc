import { tryParseJson } from "../daemon/try_parse_json.ts";
import { shuffle } from "../peers/shuffle.ts";
import { withdrawalsSchema } from "../source/withdrawals_schema.ts";
import { applyWithdrawals } from "./apply_withdrawals.ts";
import { holdRulesConfirmation } from "./hold_rules_confirmation.ts";
import { listZoneHosts } from "./list_zone_hosts.ts";
import type { MeshNode } from "./mesh_node.ts";
import { OfferHeader } from "./offer_header.ts";
import { requestNode } from "./request_node.ts";
import { updateGate } from "./update_gate.ts";

/** Neighbours that are queried; one may be down or have just started too. */
const queriedNeighbours = 3;
/** A node whose neighbours do not reply serves nevertheless. */
const queryMilliseconds = 300;

/**
 * Learns from neighbours what was withdrawn before the source came back from an
 * older copy, after this node has started with what the copy has. Callers are
 * refused meanwhile.
 */
export async function queryWithdrawals(node: MeshNode): Promise<void> {
  const { view, settings } = node;
  const ownHost = settings.backendServer.host;
  const neighbours = listZoneHosts(node).filter((host) => host !== ownHost);
  const hosts = shuffle(neighbours, node.random).slice(0, queriedNeighbours);
  const headers = {
    [OfferHeader.Withdrawals]: String(view.sourceEra ?? 0),
    [OfferHeader.RulesVersion]: String(view.rules?.version ?? 0),
  };
  const deadline = node.clock.now() + queryMilliseconds;
  node.isLearningWithdrawals = true;
  updateGate(node);
  const replies = await Promise.all(
    hosts.map(async (host) => {
      const reply = await requestNode(node, {
        host,
        headers,
        body: "",
        deadline,
      });
      return reply !== undefined && applyReply(node, reply);
    }),
  );
  holdRulesConfirmation(node, { hasReply: replies.includes(true) });
  node.isLearningWithdrawals = false;
  updateGate(node);
}

/** Returns whether the reply was valid. */
function applyReply(node: MeshNode, reply: string): boolean {
  const parsed = withdrawalsSchema.safeParse(tryParseJson(reply));
  if (!parsed.success) return false;
  applyWithdrawals(node.view, parsed.data, { now: node.clock.now() })
    .forEach(node.report.viewChange);
  return true;
}
