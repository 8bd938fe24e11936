#include "libs/orders/order_lease.h"

#include <string>

#include "libs/kernel/check.h"

namespace flamingogauge {

std::optional<LeaseAction> OrderLease::OnTime(MonotonicTime now) {
  if (outstanding_ || now < next_call_) {
    return std::nullopt;
  }
  outstanding_ = true;
  next_call_ = now + options_.interval;
  if (write_in_doubt_) {
    return LeaseAction{.kind = LeaseAction::Kind::kRead};
  }
  if (authority_) {
    write_sent_ = now;
    return LeaseAction{.kind = LeaseAction::Kind::kUpdate,
                       .expected_version = authority_->fencing_number};
  }
  if (object_absent_) {
    write_sent_ = now;
    return LeaseAction{.kind = LeaseAction::Kind::kCreate};
  }
  // The holder's lease began no later than this version was first observed.
  const bool expired =
      observed_version_ &&
      now - observed_since_ >= options_.lease + options_.clock_margin;
  if (expired) {
    write_sent_ = now;
    return LeaseAction{.kind = LeaseAction::Kind::kUpdate,
                       .expected_version = *observed_version_};
  }
  return LeaseAction{.kind = LeaseAction::Kind::kRead};
}

void OrderLease::Hold(MonotonicTime now,
                      std::uint64_t version,
                      MonotonicTime term_start) {
  CHECK_INVARIANT("fencing",
                  !authority_ || version > authority_->fencing_number,
                  "renew order lease: version " + std::to_string(version));
  const MonotonicTime unfenced_from =
      authority_ ? authority_->unfenced_from : now + options_.max_order_delay;
  authority_ = {.fencing_number = version,
                .valid_until = term_start + options_.lease,
                .unfenced_from = unfenced_from};
  write_in_doubt_ = false;
  first_in_doubt_write_sent_.reset();
  object_absent_ = false;
  observed_version_.reset();
}

void OrderLease::Lose() {
  authority_.reset();
  observed_version_.reset();
  object_absent_ = false;
}

void OrderLease::OnRead(MonotonicTime now, std::optional<LeaseObject> object) {
  outstanding_ = false;
  const bool after_lost_write = write_in_doubt_;
  write_in_doubt_ = false;
  if (!object) {
    Lose();
    object_absent_ = true;
    next_call_ = now;
    return;
  }
  if (object->holder == options_.self) {
    if (authority_ && object->version == authority_->fencing_number) {
      // The unconfirmed renewal has not been applied, at least not yet, and is
      // sent again.
      next_call_ = now;
      return;
    }
    if (after_lost_write) {
      Hold(now, object->version,
           first_in_doubt_write_sent_.value_or(write_sent_));
      return;
    }
  }
  if (authority_) {
    Lose();
  }
  if (observed_version_ != object->version) {
    observed_version_ = object->version;
    observed_since_ = now;
  }
  object_absent_ = false;
}

void OrderLease::OnReadFailed(MonotonicTime /*now*/) {
  outstanding_ = false;
}

void OrderLease::OnWritten(MonotonicTime now,
                           StoreWriteResult result,
                           std::uint64_t version) {
  outstanding_ = false;
  switch (result) {
    case StoreWriteResult::kApplied:
      Hold(now, version, write_sent_);
      break;
    case StoreWriteResult::kConflict:
      Lose();
      next_call_ = now;
      break;
    case StoreWriteResult::kNotApplied:
      break;
    case StoreWriteResult::kUnknown:
      write_in_doubt_ = true;
      first_in_doubt_write_sent_ =
          first_in_doubt_write_sent_.value_or(write_sent_);
      next_call_ = now;
      break;
  }
}

void OrderLease::OnOrderRefused() {
  Lose();
}

std::optional<OrderAuthority> OrderLease::Authority(MonotonicTime now) const {
  if (!authority_ || now >= authority_->valid_until) {
    return std::nullopt;
  }
  return authority_;
}

}  // namespace flamingogauge
