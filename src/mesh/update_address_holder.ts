import { classifyHolder } from "../address_holder/classify_holder.ts";
import { HolderKind } from "../address_holder/holder_kind.ts";
import { forgetIncarnation } from "../gate/forget_incarnation.ts";
import { findOwnServerRecord } from "./find_own_server_record.ts";
import type { MeshNode } from "./mesh_node.ts";
import { reportStatementChange } from "./report_statement_change.ts";

/**
 * Determines again which service the holder of the address belongs to, after a
 * sighting or a change of the register, and reports a change. What an earlier
 * incarnation stated is forgotten when another one is known to be the node's own.
 */
export function updateAddressHolder(node: MeshNode): void {
  const { addressHolder: holder, gate, settings, view } = node;
  const { classifiedIdentifier: previousIdentifier, kind: previousKind } =
    holder;
  const identifier = holder.latest?.identifier;
  const listedService = identifier === undefined
    ? undefined
    : view.register.get(identifier)?.entry.service;
  holder.classifiedIdentifier = identifier;
  holder.kind = classifyHolder(holder, {
    service: settings.service,
    listedService,
    registeredIdentifier: findOwnServerRecord(node)?.entry.identifier,
  });
  const { kind } = holder;
  if (kind === previousKind && identifier === previousIdentifier) return;
  node.report.state("backend-server", {
    holder: kind,
    identifier: identifier ?? null,
    previousIdentifier: previousIdentifier ?? null,
    listedService: listedService ?? null,
  });
  const isFirst = previousKind === HolderKind.Unseen &&
    previousIdentifier === undefined;
  if (kind !== HolderKind.Own || isFirst) return;
  reportStatementChange(node, () => forgetIncarnation(gate));
}
