/** What the keeper of a ledger has to do next. */
export enum LedgerEffectKind {
  /** Ask another ledger about the key, which fences it there. */
  Ask = "ask",
  /** Let the waiting call run. */
  Allow = "allow",
  /** Give the waiting call the answer of an earlier attempt. */
  AnswerWith = "answer-with",
  /** Let the call wait for the end of the run that it repeats. */
  Join = "join",
  Refuse = "refuse",
  /** Answer the owner that asked. */
  Reply = "reply",
}
