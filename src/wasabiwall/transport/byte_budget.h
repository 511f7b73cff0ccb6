#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace wasabiwall::transport {

/// Limits of a ByteBudget.
struct ByteLimits {
  /// Bytes of all buffers.
  std::size_t total = 0;
  /// Bytes of the buffers of one group, so that it leaves room for others.
  std::size_t group = 0;
  /// Size up to which a buffer needs no room.
  std::size_t free_size = 0;
};

/// Limits the bytes that all calls of a process buffer together.
///
/// When there is no room, one buffer of a group still grows until it shrinks,
/// so that a response without end reaches its own limit instead of holding
/// others up: the one that is the largest at that time. All buffers together
/// have therefore at most `total` and `group` bytes, and what the buffers of
/// free size have. Used on one event loop only.
class ByteBudget {
 public:
  explicit ByteBudget(ByteLimits limits) : m_limits(limits) {}

  /// @return Bytes buffered now.
  std::size_t Used() const { return m_used; }

  /// @return Buffers that wait for room.
  std::size_t Waiting() const { return m_waiting.size(); }

  /// The part of a budget that one buffer uses; returns it at its end.
  class Share {
   public:
    explicit Share(ByteBudget* budget) : m_budget(budget) {}
    ~Share() { Resize(0); }
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /// Empties the buffer and assigns it to a group.
    void Reset(const std::string& group);

    /// Sets the size of the buffer, which counts in any case. The buffer stops
    /// waiting for room.
    /// @return Whether it may grow.
    bool Resize(std::size_t size);

    /// @return Size of the buffer.
    std::size_t Size() const { return m_size; }

    /// Waits until the buffer may grow.
    void WaitForRoom(std::function<void()> on_room);

   private:
    friend class ByteBudget;

    ByteBudget* m_budget;
    std::string m_group;
    std::size_t m_size = 0;
    std::function<void()> m_on_room;
  };

 private:
  struct Group {
    std::size_t used = 0;
    std::unordered_set<const Share*> shares;
    /// The buffer that grows without room; null if there is none. One that was
    /// the largest after each read would let buffers overtake each other, so
    /// that many grow.
    const Share* exceeding = nullptr;
  };

  /// @return Bytes by which the buffers of a group may grow.
  std::size_t RoomOf(const std::string& group) const;
  /// @return Whether no buffer of the share's group is larger.
  bool IsLargest(const Share& share) const;
  /// @return Whether the share is the one of its group that grows without room;
  /// it becomes it if there is none and it is the largest.
  bool MayExceed(const Share& share);
  bool MayGrow(const Share& share);
  /// Lets buffers grow for which there is room, in the order in which they
  /// began to wait.
  void WakeWaiting();

  ByteLimits m_limits;
  std::size_t m_used = 0;
  std::unordered_map<std::string, Group> m_groups;
  std::deque<Share*> m_waiting;
};

}  // namespace wasabiwall::transport
