#include "knapweedpaddle/node/ConfigFreshness.h"

#include "knapweedpaddle/nodes/DutyAssignment.h"

namespace knapweedpaddle::node {

using nodes::GossipKind;
using nodes::GossipMessage;

namespace {

constexpr Milliseconds kQueryInterval{ 500 };
/** Answers to older queries are ignored. */
constexpr Milliseconds kMaxQueryAge{ 2000 };
/** The first reader of a zone asks other zones only if the store has confirmed
 * nothing for this time. */
constexpr Milliseconds kMaxReaderAge{ 1300 };

} // namespace

ConfigFreshness::ConfigFreshness(Services aServices)
  : mServices(std::move(aServices))
{
}

std::optional<Milliseconds>
ConfigFreshness::Age() const
{
  if (!mConfirmedAt) {
    return std::nullopt;
  }
  return std::chrono::ceil<Milliseconds>(mServices.scheduler.BootTime() -
                                         *mConfirmedAt);
}

void
ConfigFreshness::Confirm(Microseconds aAsOf)
{
  if (mConfirmedAt && aAsOf <= *mConfirmedAt) {
    return;
  }
  mConfirmedAt = aAsOf;
  mServices.onConfirmed(aAsOf);
}

void
ConfigFreshness::Tick()
{
  const Timestamp now = mServices.scheduler.Now();
  if (now < mNextQueryAt) {
    return;
  }
  const bool isFirstReader =
    nodes::HoldsDuty(mServices.members, nodes::kConfigReaderDuty, 1);
  if (const auto age = Age(); isFirstReader && age && *age <= kMaxReaderAge) {
    return;
  }
  mNextQueryAt = now + kQueryInterval;
  SendQuery();
}

void
ConfigFreshness::SendQuery()
{
  const Microseconds now = mServices.scheduler.BootTime();
  std::erase_if(mQueries, [now](const auto& aItem) {
    return now - aItem.second.sentAt > kMaxQueryAge;
  });
  const auto peer = nodes::ConfirmationSource(mServices.members, mUnanswered);
  if (!peer) {
    return;
  }
  ++mUnanswered;
  const std::uint32_t sequence = ++mSequence;
  mQueries[sequence] = { *peer, now };
  mServices.send(
    { *peer,
      mServices.members.ConfigMessage(GossipKind::kConfigQuery, sequence) });
}

void
ConfigFreshness::Receive(const GossipMessage& aMessage)
{
  if (aMessage.kind == GossipKind::kConfigQuery) {
    Answer(aMessage);
  } else if (aMessage.kind == GossipKind::kConfigAnswer) {
    TakeAnswer(aMessage);
  }
}

void
ConfigFreshness::Answer(const GossipMessage& aQuery) const
{
  GossipMessage answer =
    mServices.members.ConfigMessage(GossipKind::kConfigAnswer, aQuery.sequence);
  answer.configAge = Age();
  mServices.send({ aQuery.sender, std::move(answer) });
}

void
ConfigFreshness::TakeAnswer(const GossipMessage& aAnswer)
{
  const auto it = mQueries.find(aAnswer.sequence);
  if (it == mQueries.end() || it->second.peer != aAnswer.sender) {
    return;
  }
  const Microseconds sentAt = it->second.sentAt;
  mQueries.erase(it);
  mUnanswered = 0;
  // That the peer's version was the newest also confirms a higher one.
  if (aAnswer.configAge && aAnswer.configVersion <= mServices.version()) {
    Confirm(sentAt - *aAnswer.configAge);
  }
}

} // namespace knapweedpaddle::node
